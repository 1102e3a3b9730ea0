"""What every process learns from the keepers: plan, targets, other VMs.

Targets and operators speak to keepers. A router keeps a link to every
keeper, hears of each change at once, and asks a few times a second whether
the plan that it holds is still the newest.
"""

"""Every decision of load balancing; `lilacsill.balancing.interface` has its types, events and actions.

A request passes these components in order: membership (which backends exist), admission control (send, queue or
reject), outlier detection and warm-up budget (which backends may be sampled), load table and bands (the Quantile
process of Los and Sauerwald: two uniform samples, compared by band), attempts (time-out, retry, hedge). docs/design.md
has the reasons.
"""

from .balancer import Balancer as Balancer

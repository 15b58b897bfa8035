"""Decision logic of the load balancer; `lilacsill.balancing.interface` defines its types, events and actions.

A request passes these components in order: membership (which backends exist), admission control (send, queue or
reject), outlier detection and warm-up budget (which backends may be sampled), load table and bands (the Quantile
process of Los and Sauerwald: two uniform samples, compared by band), attempts (time-out, retry, hedge). docs/design.md
explains the design.
"""

from .balancer import Balancer as Balancer

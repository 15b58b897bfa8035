"""Burst credit: rate limits with accumulated bursts that are enforced over all proxies together.

Each caller has an account at one owner node. The owner grants proxies leases on the credit of the account, and proxies
spend them.
"""

"""Which upstream takes a flow: decisions without network or clock."""

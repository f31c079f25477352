// Package quota limits the requests of tenants over all nodes: a Lender lends units of each tenant's bound to the Holders at the nodes.
package quota

// Package toucanreplica defines the identifier of replicas.
package toucanreplica

// ID identifies a replica of a shard; each replica is one target.
type ID string

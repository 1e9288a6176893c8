// Package toucanreplica names replicas.
package toucanreplica

// ID identifies a replica of a shard, which is one target.
type ID string

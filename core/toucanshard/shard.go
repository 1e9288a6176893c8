// Package toucanshard defines the identifier of shards.
package toucanshard

// ID identifies a shard within its service.
type ID uint32

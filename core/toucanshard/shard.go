// Package toucanshard names shards.
package toucanshard

// ID identifies a shard within its service.
type ID uint32

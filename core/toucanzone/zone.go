// Package toucanzone defines the identifier of availability zones.
package toucanzone

// Name identifies an availability zone.
type Name string

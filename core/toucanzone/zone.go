// Package toucanzone names availability zones.
package toucanzone

// Name identifies an availability zone.
type Name string

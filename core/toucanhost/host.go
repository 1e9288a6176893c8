// Package toucanhost names entry hosts.
package toucanhost

// ID identifies one incarnation of an entry host, "name/incarnation".
type ID string

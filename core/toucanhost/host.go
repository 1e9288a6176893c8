// Package toucanhost defines the identifier of hosts.
package toucanhost

// ID identifies one incarnation of a host, "name/incarnation"; a restart changes
// it. In the entries that hosts register in the store it is the name alone.
type ID string

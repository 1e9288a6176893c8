// Package toucanhost defines the identifier of hosts.
package toucanhost

// ID identifies one incarnation of a host, "name/incarnation"; a restart changes it.
type ID string

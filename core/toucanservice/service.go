// Package toucanservice defines the identifier of services.
package toucanservice

// Name identifies a service.
type Name string

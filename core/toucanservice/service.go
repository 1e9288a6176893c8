// Package toucanservice names services.
package toucanservice

// Name identifies a service.
type Name string

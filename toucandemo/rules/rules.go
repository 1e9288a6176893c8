// Package rules embeds the templates of the demonstration's configuration.
package rules

import "embed"

// Files holds the templates; toucandeploy fills in the addresses.
//
//go:embed *.yaml
var Files embed.FS

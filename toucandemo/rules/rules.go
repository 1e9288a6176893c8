// Package rules embeds the templates of the demonstration's configuration.
package rules

import "embed"

// Files holds the templates; toucandeploy fills the addresses in.
//
//go:embed *.yaml
var Files embed.FS

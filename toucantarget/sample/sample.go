// Package sample embeds the texts that the simulated targets search.
package sample

import "embed"

// Files holds one JSON file for each group of services.
//
//go:embed *.json
var Files embed.FS

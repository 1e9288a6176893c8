// Package sample embeds the sample data of the stand-in targets.
package sample

import "embed"

// Files holds the sample data.
//
//go:embed *.json
var Files embed.FS

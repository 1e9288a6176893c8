// Package toucanxfail reads the list of tests that show a known fault.
package toucanxfail

import (
	"os"
	"strings"
)

// Lookup returns the entry of a test in the list at path, or "" for a test that
// is not listed. A list that does not exist is empty. With TOUCAN_RED set, no
// test counts as listed, so that all run.
func Lookup(path, test string) (string, error) {
	list, err := os.ReadFile(path)
	if os.IsNotExist(err) || err == nil && os.Getenv("TOUCAN_RED") != "" {
		return "", nil
	}
	if err != nil {
		return "", err
	}
	for entry := range strings.SplitSeq(string(list), "test: ") {
		if name, _, _ := strings.Cut(entry, "\n"); name == test {
			return entry, nil
		}
	}
	return "", nil
}

// Package toucanfolder reads, merges and validates the configuration folder.
//
// The folder holds files named *.yaml or *.yml; other files and subfolders are
// ignored. Each file is a mapping with any of these keys:
//
//	zones:
//	  - name: sierra
//	    region: north
//	    seeds: [10.1.0.1:7001]     # peer addresses, IP number and port
//	out: [costa]                   # zones out of service
//	services:
//	  - name: letters
//	    shards: 8
//	    slots: 3                   # of each replica
//	    connections: 100           # to each replica, at least slots
//	    connect: 1ms               # cost of a new connection
//	    age: 2                     # index versions behind the newest
//	    routes:
//	      - {name: find, once: false, timeout: 500ms}
//	    replicas:
//	      - {id: letters-0a, shard: 0, zone: sierra, address: "10.1.1.1:80", version: v1}
//	moves:
//	  - name: letters-v2
//	    service: letters
//	    from: v1
//	    to: v2
//	    deadline: 2026-12-31T12:00:00Z
//	    start: 0.02                # share of the first stage, default 0.02
//	    steps: [0.1, 0.5, 1]       # shares of the later stages, default as here
//	    bound: 0.05                # default 0.05
//	    samples: 100               # default 100
//
// Files are merged in the byte order of their names:
//   - zones, services, moves and the routes and replicas of a service are
//     matched by name (replicas by id), and an unknown name is added;
//   - a key given for a known name replaces the value of the earlier file, and
//     keys that are not given keep it;
//   - the lists out, seeds and steps are replaced whole;
//   - nothing is removed by a later file: an entry goes when the file that
//     holds it is changed.
//
// One file may not give the same name twice in one list. YAML aliases and
// several documents in one file are refused.
package toucanfolder

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
)

// Limits of a configuration folder.
const (
	// MaxFileBytes keeps a file well below the 1 MB value limit of the store.
	MaxFileBytes = 64 << 10
	// MaxFiles bounds the head, which names every file, to about 200 KB.
	MaxFiles = 1000
	// MaxBytes bounds all files together: a host holds them within its 64 MB,
	// and 89,000 replicas take about 8 MB.
	MaxBytes = 16 << 20
	// MaxNameBytes is the longest name of a file.
	MaxNameBytes = 128

	// maxProblems bounds the memory that a broken folder takes.
	maxProblems = 1000
	// maxListed bounds the length of an error's text.
	maxListed = 100
)

// Folder is an immutable set of configuration files. The zero value is empty.
type Folder struct {
	pieces []*piece
	early  []Problem
}

// Problem is one mistake in a folder; Line starts at 1.
type Problem struct {
	File string
	Line int
	Text string
}

// String returns the problem as file:line: text.
func (p Problem) String() string { return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text) }

// New parses files, which must not be changed afterwards. Files that prior
// holds with the same content are not parsed again; prior may be nil.
func New(files map[string][]byte, prior *Folder) *Folder {
	f := &Folder{}
	known := map[string]*piece{}
	if prior != nil {
		for _, p := range prior.pieces {
			known[p.name] = p
		}
	}
	total := 0
	for i, name := range slices.Sorted(maps.Keys(files)) {
		if total += len(files[name]); total > MaxBytes {
			f.early = append(f.early, Problem{name, 1, fmt.Sprintf("files over %d bytes together", MaxBytes)})
			break
		}
		if i >= MaxFiles {
			f.early = append(f.early, Problem{name, 1, fmt.Sprintf("%d files, the limit is %d", len(files), MaxFiles)})
			break
		}
		if p := known[name]; p != nil && len(p.problems) == 0 && bytes.Equal(p.data, files[name]) {
			f.pieces = append(f.pieces, p)
			continue
		}
		f.pieces = append(f.pieces, parse(name, files[name]))
	}
	return f
}

// Open reads the configuration files of a folder on disk. It fails with
// CODE_INVALID when the folder or a file in it is not readable.
func Open(dir string) (*Folder, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, unreadable(dir, err)
	}
	files := map[string][]byte{}
	for _, e := range entries {
		if e.IsDir() || !IsFileName(e.Name()) {
			continue
		}
		// One file more than the limit is enough to report it.
		if len(files) > MaxFiles {
			break
		}
		path := filepath.Join(dir, e.Name())
		info, err := os.Stat(path)
		if err != nil {
			return nil, unreadable(path, err)
		}
		// A file over the limit is reported without being read.
		if info.Size() > MaxFileBytes {
			files[e.Name()] = make([]byte, MaxFileBytes+1)
			continue
		}
		if files[e.Name()], err = os.ReadFile(path); err != nil {
			return nil, unreadable(path, err)
		}
	}
	return New(files, nil), nil
}

func unreadable(path string, err error) error {
	return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "cannot read "+path).Because(err)
}

// IsFileName reports whether name is that of a configuration file.
func IsFileName(name string) bool {
	ext := filepath.Ext(name)
	return len(name) <= MaxNameBytes && isName(name) && (ext == ".yaml" || ext == ".yml")
}

// Files returns the content of the files by name, which must not be changed.
func (f *Folder) Files() map[string][]byte {
	out := make(map[string][]byte, len(f.pieces))
	for _, p := range f.pieces {
		out[p.name] = p.data
	}
	return out
}

// Rules returns the effective configuration with the given revision. It fails
// with CODE_INVALID and the list of problems as detail.
func (f *Folder) Rules(revision uint64) (*toucanpb.Rules, error) {
	rules, problems := f.check(nil)
	if err := listed(problems); err != nil {
		return nil, err
	}
	rules.Revision = revision
	return rules, nil
}

// Problems returns the mistakes that Rules reports, at most 1,000, ordered by
// file and line.
func (f *Folder) Problems() []Problem {
	_, problems := f.check(nil)
	return problems
}

// RulesToPublish returns what Rules returns, and refuses moves whose deadline is past
// at now. A move that published holds with the same deadline is accepted, so
// that a finished move does not block an urgent change; published may be nil.
func (f *Folder) RulesToPublish(now time.Time, published *toucanpb.Rules) (*toucanpb.Rules, error) {
	rules, problems := f.check(planned(now, published))
	if err := listed(problems); err != nil {
		return nil, err
	}
	rules.Revision = published.GetRevision()
	return rules, nil
}

// ProblemsToPublish returns the mistakes that Plan reports.
func (f *Folder) ProblemsToPublish(now time.Time, published *toucanpb.Rules) []Problem {
	_, problems := f.check(planned(now, published))
	return problems
}

func planned(now time.Time, published *toucanpb.Rules) func(*toucanpb.Move) bool {
	held := map[string]int64{}
	for _, m := range published.GetMoves() {
		held[m.GetName()] = m.GetDeadline()
	}
	return func(m *toucanpb.Move) bool {
		return m.GetDeadline() <= now.Unix() && held[m.GetName()] != m.GetDeadline()
	}
}

func listed(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	var lines []string
	for i, p := range problems {
		if i == maxListed {
			lines = append(lines, fmt.Sprintf("and %d more", len(problems)-maxListed))
			break
		}
		lines = append(lines, p.String())
	}
	return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, strings.Join(lines, "\n"))
}

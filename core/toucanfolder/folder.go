// Package toucanfolder reads, merges and validates the configuration folder.
//
// The folder holds files named *.yaml or *.yml; other files and subfolders are
// ignored. Each file is a mapping with any of these keys:
//
//	zones:
//	  - name: sierra
//	    region: north
//	    seeds: [10.1.0.1:7001]     # peer addresses, IP address and port
//	out: [costa]                   # zones out of service
//	services:
//	  - name: letters
//	    shards: 8
//	    slots: 3                   # of each replica
//	    connections: 100           # to each replica, at least slots
//	    connect: 1ms               # time to set up a new connection
//	    age: 2                     # how many index versions behind the newest may be used
//	    routes:
//	      - {name: find, once: false, timeout: 500ms}   # once: true for non-idempotent requests
//	    replicas:
//	      - {id: letters-0a, shard: 0, zone: sierra, address: "10.1.1.1:80", version: v1}
//	moves:                         # rollouts of services to new versions
//	  - name: letters-v2
//	    service: letters
//	    from: v1
//	    to: v2
//	    deadline: 2026-12-31T12:00:00Z
//	    start: 0.02                # traffic share of the first stage, default 0.02
//	    steps: [0.1, 0.5, 1]       # shares of the later stages, default as here
//	    bound: 0.05                # how much larger the new version's share of errors or slow responses may be, default 0.05
//	    samples: 100               # responses of the new version needed on each route per stage, default 100
//
// Files are merged in the byte order of their names:
//   - zones, services, moves and the routes and replicas of a service are
//     matched by name (replicas by id), and entries with a new name are added;
//   - a key set in a later file replaces the value of the earlier file, and an
//     absent key keeps it;
//   - the lists out, seeds and steps are replaced, not merged;
//   - a later file can't remove an entry; only editing the file that contains
//     it does.
//
// A name may occur only once in each list of a file. YAML aliases and files with
// more than one document are refused.
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
	// MaxFileBytes is well below the store's limit of 1 MB for a value.
	MaxFileBytes = 64 << 10
	// MaxFiles keeps the head, which lists every file, below about 200 KB.
	MaxFiles = 1000
	// MaxBytes bounds the total size of all files, because a host keeps them in
	// its 64 MB of memory. 89,000 replicas take about 8 MB.
	MaxBytes = 16 << 20
	// MaxNameBytes is the longest name of a file, or of an entry in it.
	MaxNameBytes = 128

	// maxProblems bounds the memory that the problems of a folder take.
	maxProblems = 1000
	// maxListedProblems bounds the length of an error message.
	maxListedProblems = 100
)

// Folder is an immutable set of configuration files. The zero value is empty.
type Folder struct {
	files         []*parsedFile
	limitProblems []Problem
}

// Problem is one mistake in a configuration file; Line counts from 1.
type Problem struct {
	File string
	Line int
	Text string
}

// String returns the problem as file:line: text.
func (p Problem) String() string { return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text) }

// New parses files, which must not be modified afterwards. Files that are
// unchanged since prior are not parsed again; prior may be nil.
func New(files map[string][]byte, prior *Folder) *Folder {
	f := &Folder{}
	priorFiles := map[string]*parsedFile{}
	if prior != nil {
		for _, p := range prior.files {
			priorFiles[p.name] = p
		}
	}
	total := 0
	for i, name := range slices.Sorted(maps.Keys(files)) {
		if total += len(files[name]); total > MaxBytes {
			f.limitProblems = append(f.limitProblems, Problem{name, 1, fmt.Sprintf("files exceed %d bytes in total", MaxBytes)})
			break
		}
		if i >= MaxFiles {
			f.limitProblems = append(f.limitProblems, Problem{name, 1, fmt.Sprintf("%d files, the limit is %d", len(files), MaxFiles)})
			break
		}
		if p := priorFiles[name]; p != nil && len(p.problems) == 0 && bytes.Equal(p.data, files[name]) {
			f.files = append(f.files, p)
			continue
		}
		f.files = append(f.files, parse(name, files[name]))
	}
	return f
}

// Open reads the configuration files in dir. It returns CODE_INVALID if dir or a
// file in it can't be read.
func Open(dir string) (*Folder, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, unreadableError(dir, err)
	}
	files := map[string][]byte{}
	for _, e := range entries {
		if e.IsDir() || !IsFileName(e.Name()) {
			continue
		}
		// One file above the limit is enough to report the problem.
		if len(files) > MaxFiles {
			break
		}
		path := filepath.Join(dir, e.Name())
		info, err := os.Stat(path)
		if err != nil {
			return nil, unreadableError(path, err)
		}
		// A file above the limit is reported without reading it.
		if info.Size() > MaxFileBytes {
			files[e.Name()] = make([]byte, MaxFileBytes+1)
			continue
		}
		if files[e.Name()], err = os.ReadFile(path); err != nil {
			return nil, unreadableError(path, err)
		}
	}
	return New(files, nil), nil
}

func unreadableError(path string, err error) error {
	return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, "cannot read "+path).Because(err)
}

// IsFileName reports whether name is valid for a configuration file.
func IsFileName(name string) bool {
	ext := filepath.Ext(name)
	return len(name) <= MaxNameBytes && isSafeName(name) && (ext == ".yaml" || ext == ".yml")
}

// Files returns the content of the files by name; it must not be modified.
func (f *Folder) Files() map[string][]byte {
	out := make(map[string][]byte, len(f.files))
	for _, p := range f.files {
		out[p.name] = p.data
	}
	return out
}

// Rules returns the effective configuration with the given revision. If the
// files have problems, it returns CODE_INVALID with the problems as detail.
func (f *Folder) Rules(revision uint64) (*toucanpb.Rules, error) {
	rules, problems := f.check(nil)
	if err := problemsError(problems); err != nil {
		return nil, err
	}
	rules.Revision = revision
	return rules, nil
}

// Problems returns the problems that make Rules fail, at most 1,000, ordered by
// file and line.
func (f *Folder) Problems() []Problem {
	_, problems := f.check(nil)
	return problems
}

// RulesToPublish is like Rules, but refuses rollouts whose deadline has passed
// at now, unless published contains the rollout with the same deadline: a
// finished rollout must not block an urgent change. The result has the revision
// of published, which may be nil.
func (f *Folder) RulesToPublish(now time.Time, published *toucanpb.Rules) (*toucanpb.Rules, error) {
	rules, problems := f.check(pastDeadlineFunc(now, published))
	if err := problemsError(problems); err != nil {
		return nil, err
	}
	rules.Revision = published.GetRevision()
	return rules, nil
}

// ProblemsToPublish returns the problems that make RulesToPublish fail, as
// Problems does for Rules.
func (f *Folder) ProblemsToPublish(now time.Time, published *toucanpb.Rules) []Problem {
	_, problems := f.check(pastDeadlineFunc(now, published))
	return problems
}

func pastDeadlineFunc(now time.Time, published *toucanpb.Rules) func(*toucanpb.Move) bool {
	publishedDeadlines := map[string]int64{}
	for _, m := range published.GetMoves() {
		publishedDeadlines[m.GetName()] = m.GetDeadline()
	}
	return func(m *toucanpb.Move) bool {
		return m.GetDeadline() <= now.Unix() && publishedDeadlines[m.GetName()] != m.GetDeadline()
	}
}

func problemsError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	var lines []string
	for i, p := range problems {
		if i == maxListedProblems {
			lines = append(lines, fmt.Sprintf("and %d more", len(problems)-maxListedProblems))
			break
		}
		lines = append(lines, p.String())
	}
	return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, strings.Join(lines, "\n"))
}

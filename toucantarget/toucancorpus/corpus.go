// Package toucancorpus answers searches from the sample data.
package toucancorpus

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io/fs"
	"slices"
	"strings"
	"unicode"

	"toucanstair.example/core/toucanfault"
	"toucanstair.example/core/toucanpb"
	"toucanstair.example/core/toucanrank"
	"toucanstair.example/core/toucanspec"
)

// Each shard holds this share of the texts of its service.
const held = 0.6

// Corpus holds the texts of each service.
type Corpus struct {
	texts map[string][]string
	all   []string
}

// Load reads every JSON file of files.
func Load(files fs.FS) (*Corpus, error) {
	names, err := fs.Glob(files, "*.json")
	if err != nil {
		return nil, invalid("sample data", err)
	}
	l := &Corpus{texts: map[string][]string{}}
	for _, name := range names {
		b, err := fs.ReadFile(files, name)
		if err != nil {
			return nil, invalid(name, err)
		}
		var part struct {
			Services []string `json:"services"`
			Texts    []string `json:"texts"`
		}
		if err := json.Unmarshal(b, &part); err != nil {
			return nil, invalid(name, err)
		}
		for _, s := range part.Services {
			l.texts[s] = part.Texts
		}
		l.all = append(l.all, part.Texts...)
	}
	return l, nil
}

// Search returns the best items of a shard, at most limit, by the number of
// the query's words that their text contains; items without any are left out.
// The result depends only on the arguments. A service without texts of its own
// has the texts of all.
func (l *Corpus) Search(service string, shard uint32, index uint64, query string, limit uint32) []*toucanpb.Item {
	texts, ok := l.texts[service]
	if !ok {
		texts = l.all
	}
	wanted := words(query)
	items := []*toucanpb.Item{}
	var rank toucanrank.Ranker
	for i, text := range texts {
		if rank.Fraction(fmt.Sprintf("%s/%d/%d", service, shard, i)) >= held {
			continue
		}
		has, score := words(text), 0
		for w := range wanted {
			if has[w] {
				score++
			}
		}
		if score == 0 {
			continue
		}
		items = append(items, &toucanpb.Item{
			Id:    fmt.Sprintf("%s-%d-%d", service, shard, i),
			Score: float64(score),
			Text:  text + " " + toucanspec.ItemSuffix(service, shard, index),
		})
	}
	slices.SortFunc(items, func(a, b *toucanpb.Item) int {
		return cmp.Or(cmp.Compare(b.GetScore(), a.GetScore()), cmp.Compare(a.GetId(), b.GetId()))
	})
	return items[:min(len(items), int(limit))]
}

func words(text string) map[string]bool {
	out := map[string]bool{}
	for w := range strings.FieldsFuncSeq(strings.ToLower(text), func(r rune) bool {
		return !unicode.IsLetter(r) && !unicode.IsDigit(r)
	}) {
		out[w] = true
	}
	return out
}

func invalid(detail string, err error) error {
	return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, detail).Because(err)
}

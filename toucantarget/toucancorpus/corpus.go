// Package toucancorpus searches the sample texts of the simulated targets.
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

// shardFraction is the fraction of its service's texts that each shard holds.
const shardFraction = 0.6

// Corpus holds the texts of each service.
type Corpus struct {
	texts    map[string][]string
	allTexts []string
}

// Load reads every *.json file at the root of files. Errors have CODE_INVALID.
func Load(files fs.FS) (*Corpus, error) {
	names, err := fs.Glob(files, "*.json")
	if err != nil {
		return nil, invalidData("sample data", err)
	}
	c := &Corpus{texts: map[string][]string{}}
	for _, name := range names {
		b, err := fs.ReadFile(files, name)
		if err != nil {
			return nil, invalidData(name, err)
		}
		var file struct {
			Services []string `json:"services"`
			Texts    []string `json:"texts"`
		}
		if err := json.Unmarshal(b, &file); err != nil {
			return nil, invalidData(name, err)
		}
		for _, s := range file.Services {
			c.texts[s] = file.Texts
		}
		c.allTexts = append(c.allTexts, file.Texts...)
	}
	return c, nil
}

// Search returns at most limit items of a shard. An item's score is the number
// of distinct query words in its text; items that score 0 are left out, and
// equal scores are ordered by id. The result depends only on the arguments. A
// service without texts of its own searches the texts of all services.
func (c *Corpus) Search(service string, shard uint32, index uint64, query string, limit uint32) []*toucanpb.Item {
	texts, ok := c.texts[service]
	if !ok {
		texts = c.allTexts
	}
	wanted := wordSet(query)
	items := []*toucanpb.Item{}
	var rank toucanrank.Ranker
	for i, text := range texts {
		if rank.Fraction(fmt.Sprintf("%s/%d/%d", service, shard, i)) >= shardFraction {
			continue
		}
		has, score := wordSet(text), 0
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

func wordSet(text string) map[string]bool {
	out := map[string]bool{}
	for w := range strings.FieldsFuncSeq(strings.ToLower(text), func(r rune) bool {
		return !unicode.IsLetter(r) && !unicode.IsDigit(r)
	}) {
		out[w] = true
	}
	return out
}

func invalidData(detail string, err error) error {
	return toucanfault.NotRun(toucanpb.Code_CODE_INVALID, detail).Because(err)
}

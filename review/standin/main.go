// Command review-standin plays one case of the review against real entry hosts. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sort"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(b *bed, trouble bool) bool{
	"drain":    drain,
	"exposure": exposure,
	"failback": failback,
	"lost":     lost,
}

func main() {
	// The entry hosts get a signal when the thread that started them ends.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0"))
}

func play(name, record string, trouble bool) (code int) {
	var b *bed
	defer func() {
		if b != nil {
			b.stop()
		}
		if p := recover(); p != nil {
			failed, ok := p.(cantRun)
			if !ok {
				code = 2
				fmt.Println("the case couldn't run:", p)
				return
			}
			fmt.Println("the case couldn't run:", failed.err)
			code = 2
		}
	}()
	b = newBed(record)
	b.note("case %s, trouble %v", name, trouble)
	if cases[name](b, trouble) {
		b.note("rule broken")
		fmt.Println("rule broken")
		return 1
	}
	b.note("rule held")
	fmt.Println("rule held")
	return 0
}

// say writes a line to the record and to standard output.
func (b *bed) say(format string, args ...any) {
	b.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func sortBy[T any](list []T, less func(x, y T) bool) {
	sort.SliceStable(list, func(i, j int) bool { return less(list[i], list[j]) })
}

package toucanmirror

import "strconv"

// countBits is the number of bits of a Revision that hold the store's count of changes.
const countBits = 40

// MaxCount and MaxEra are the largest values that a Revision holds.
const (
	MaxCount = 1<<countBits - 1
	MaxEra   = 1<<(64-countBits) - 1
)

// Era counts, from 1, how often the store came back from an earlier copy of itself, which
// has undone the changes after that copy. It is 0 where that is not told.
type Era uint64

// Revision is a point in the history of the store. The store counts its changes, and an
// era that it begins from an earlier copy uses the same counts again, so that the era
// comes before the count. The zero value is before all changes.
type Revision uint64

// At returns the revision of a count in an era. Beyond MaxEra and MaxCount all are alike.
func At(era Era, count uint64) Revision {
	return Revision(uint64(min(era, MaxEra))<<countBits | min(count, MaxCount))
}

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> countBits) }

// Count returns the store's count of changes within the era.
func (r Revision) Count() uint64 { return uint64(r) & MaxCount }

// String returns the era as the store names it, and the count, such as "2/17", or only the
// count where the era is not told.
func (r Revision) String() string {
	count := strconv.FormatUint(r.Count(), 10)
	if r.Era() == 0 {
		return count
	}
	return r.Era().String() + "/" + count
}

// String returns the era as the store names it, from 0, or "not told".
func (e Era) String() string {
	if e == 0 {
		return "not told"
	}
	return strconv.FormatUint(uint64(e)-1, 10)
}

package toucanfollower_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/toucanstair/toucanmirror"
)

// lateStore returns each watch some time after the store has answered it, as on a busy host or
// a slow link.
type lateStore struct {
	*fakeStore
	delay time.Duration
}

func (s lateStore) Watch(ctx context.Context, after toucanmirror.Revision, wait time.Duration) ([]toucanmirror.Item, toucanmirror.Revision, error) {
	items, revision, err := s.fakeStore.Watch(ctx, after, wait)
	<-time.After(s.delay)
	return items, revision, err
}

// Guards against a removal that is passed on with a time after it, or without a time, by a
// reader that gets the store's answers late. Targets would get requests for too long.
func TestTimeOfRemovalIsNotAfterIt(t *testing.T) {
	for delay := time.Duration(0); delay <= 900*time.Millisecond; delay += 150 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := lateStore{newFakeStore(), delay}
				s.put("rules", "1")
				f := startFollower(t, s)
				for phase := time.Duration(0); phase <= 1300*time.Millisecond; phase += 50 * time.Millisecond {
					s.put("t/1", "ready")
					<-time.After(8 * time.Second)
					// Another change starts the pause between two watches.
					s.put("t/other", "ready "+phase.String())
					<-time.After(phase)
					before := f.Mirror.Revision()
					s.remove("t/1")
					removed := time.Now()
					<-time.After(3 * time.Second)
					changes, _ := f.Mirror.Since(before)
					known := false
					for _, it := range changes.Items {
						if it.Key == "t/1" {
							known = true
							require.NotZero(t, it.DeletedAfter, "phase %v", phase)
							require.False(t, it.DeletedAfter.After(removed), "phase %v: %v after the removal", phase, it.DeletedAfter.Sub(removed))
						}
					}
					require.True(t, known)
				}
			})
		})
	}
}

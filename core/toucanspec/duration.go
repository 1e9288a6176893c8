package toucanspec

import "time"

// Duration is a time.Duration that is encoded as text such as "6ms".
type Duration time.Duration

// MarshalText returns the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses text as time.ParseDuration does; empty text is 0.
func (d *Duration) UnmarshalText(b []byte) error {
	if len(b) == 0 {
		*d = 0
		return nil
	}
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

package azurehitch

import (
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is encoded as text, such as "10m", in the tables and in JSON.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration such as 10m or 1.5s", text)
	}
	*d = Duration(parsed)
	return nil
}

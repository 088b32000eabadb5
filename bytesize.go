package azurehitch

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ByteSize is an amount of memory in bytes. It is encoded as text, such as "16GiB" or "100B".
type ByteSize int64

// The units of ByteSize.
const (
	Byte     ByteSize = 1
	Kibibyte          = 1024 * Byte
	Mebibyte          = 1024 * Kibibyte
	Gibibyte          = 1024 * Mebibyte
)

var byteUnits = []struct {
	suffix string
	size   ByteSize
}{{"GiB", Gibibyte}, {"MiB", Mebibyte}, {"KiB", Kibibyte}, {"B", Byte}}

// String formats the size in the largest unit that divides it without a remainder.
func (b ByteSize) String() string {
	for _, unit := range byteUnits {
		if b != 0 && b%unit.size == 0 {
			return strconv.FormatInt(int64(b/unit.size), 10) + unit.suffix
		}
	}
	return "0B"
}

// MarshalText implements encoding.TextMarshaler.
func (b ByteSize) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. A missing unit and a negative or too large
// number are errors.
func (b *ByteSize) UnmarshalText(text []byte) error {
	for _, unit := range byteUnits {
		digits, ok := strings.CutSuffix(string(text), unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > int64(1<<62)/int64(unit.size) {
			return errors.Errorf("%q is not a size such as 16GiB", text)
		}
		*b = ByteSize(n) * unit.size
		return nil
	}
	return errors.Errorf("%q is not a size such as 16GiB", text)
}

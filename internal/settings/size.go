package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrSize reports a size without a known unit or without a number.
var ErrSize = errors.New("not a size with a unit")

// sizeUnit is a unit of size in bytes.
type sizeUnit struct {
	suffix string
	bytes  int64
}

// sizeUnits lists longer suffixes first, so that "KB" is not read as "B".
var sizeUnits = []sizeUnit{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"TiB", 1 << 40},
	{"KB", 1e3},
	{"MB", 1e6},
	{"GB", 1e9},
	{"TB", 1e12},
	{"B", 1},
}

// ParseSize returns the bytes of a text such as "60GB" or "1.5GiB". It returns ErrSize if the unit
// or the number is missing, negative or too large.
func ParseSize(text string) (int64, error) {
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		return scaleSize(strings.TrimSpace(digits), unit.bytes)
	}
	return 0, ErrSize
}

func scaleSize(digits string, unit int64) (int64, error) {
	number, err := strconv.ParseFloat(digits, 64)
	if err != nil || digits == "" || strings.ContainsAny(digits, "xXpPeE_nNiI+-") {
		return 0, ErrSize
	}
	bytes := number * float64(unit)
	if bytes >= math.MaxInt64 {
		return 0, ErrSize
	}
	return int64(math.Round(bytes)), nil
}

// FormatSize returns the bytes in the largest decimal unit that divides them, such as "60GB".
func FormatSize(bytes int64) string {
	for _, unit := range []sizeUnit{{"TB", 1e12}, {"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}} {
		if bytes >= unit.bytes && bytes%unit.bytes == 0 {
			return fmt.Sprintf("%d%s", bytes/unit.bytes, unit.suffix)
		}
	}
	return fmt.Sprintf("%dB", bytes)
}

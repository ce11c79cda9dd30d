package losses

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Line is one line of a daemon's log.
type Line struct {
	// Source names the log and the line in it, for error messages.
	Source  string
	Time    time.Time
	Message string
	Fields  map[string]string
}

// text returns a field, or ErrMalformedLine if it is missing.
func (l *Line) text(key string) (string, error) {
	value, ok := l.Fields[key]
	if !ok {
		return "", errors.Wrapf(ErrMalformedLine, "%s: %q has no field %s", l.Source, l.Message, key)
	}
	return value, nil
}

// number returns a field that holds a number that is not negative.
func (l *Line) number(key string) (int, error) {
	text, err := l.text(key)
	if err != nil {
		return 0, err
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 {
		return 0, errors.Wrapf(ErrMalformedLine, "%s: %s=%s is not a number", l.Source, key, text)
	}
	return number, nil
}

// millis returns a field that holds a duration in milliseconds.
func (l *Line) millis(key string) (time.Duration, error) {
	number, err := l.number(key)
	return time.Duration(number) * time.Millisecond, err
}

// flag returns a field that is true or false.
func (l *Line) flag(key string) (bool, error) {
	text, err := l.text(key)
	if err != nil {
		return false, err
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		return false, errors.Wrapf(ErrMalformedLine, "%s: %s=%s is neither true nor false", l.Source, key, text)
	}
	return value, nil
}

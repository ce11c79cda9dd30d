package ingress

import (
	"io"

	"github.com/pkg/errors"
)

// Errors of reading under a budget.
var (
	// ErrTooLong reports data above the limit.
	ErrTooLong = errors.New("ingress: too long")
	// ErrBusy reports a long body that the process has no time to read soon.
	ErrBusy = errors.New("ingress: too many long bodies")
	// ErrNoMemory reports data that the budget has no memory for.
	ErrNoMemory = errors.New("ingress: memory budget is exhausted")
)

// firstBlockBytes is the first block that is reserved for data of unknown length.
const firstBlockBytes = 4 << 10

// Read reads data of unknown length up to limit bytes. Each next block is reserved before it is buffered. The
// returned number of bytes stays reserved until the caller releases it; with an error none are.
func (a *Account) Read(reader io.Reader, limit int) (data []byte, reserved int64, err error) {
	for {
		// One byte more than the limit shows that the data is too long.
		grown := min(max(firstBlockBytes, 2*cap(data)), limit+1)
		if grown <= len(data) {
			a.Release(reserved)
			return nil, 0, ErrTooLong
		}
		if !a.Reserve(int64(grown)) {
			a.Release(reserved)
			return nil, 0, ErrNoMemory
		}
		block := make([]byte, len(data), grown)
		copy(block, data)
		a.Release(reserved)
		data, reserved = block, int64(grown)
		data, err = fill(reader, data)
		if errors.Is(err, io.EOF) && len(data) <= limit {
			return data, reserved, nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			a.Release(reserved)
			return nil, 0, err
		}
	}
}

// fill reads until the capacity of data is used or the reader ends.
func fill(reader io.Reader, data []byte) ([]byte, error) {
	for len(data) < cap(data) {
		n, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return data, err
		}
	}
	return data, nil
}

// ReadAnnounced reads data of an announced length, which is reserved before a byte is buffered. See Read.
func (a *Account) ReadAnnounced(reader io.Reader, length, limit int) (data []byte, reserved int64, err error) {
	if length > limit {
		return nil, 0, ErrTooLong
	}
	if !a.Reserve(int64(length)) {
		return nil, 0, ErrNoMemory
	}
	data = make([]byte, length)
	if _, err := io.ReadFull(reader, data); err != nil {
		a.Release(int64(length))
		return nil, 0, err
	}
	return data, int64(length), nil
}

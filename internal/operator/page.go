package operator

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"slices"
	"strings"

	"clementineflow/internal/configuration"
)

// Default and maximum number of items in a page of a list.
const (
	DefaultPageSize = 100
	MaxPageSize     = 500
)

// page is the position and size of one page of a list.
type page struct {
	size int
	// after is the key of the last item of the previous page; empty for the first page.
	after string
	// listChecksum identifies the call and its filter; a token is valid only with the same checksum.
	listChecksum uint32
}

// pageToken is the content of a page token, which is opaque to clients.
type pageToken struct {
	ListChecksum uint32 `json:"l"`
	After        string `json:"a"`
}

// newPage validates the page size and the token. filter is any printable value that identifies the
// filter of the call. A token of another call or filter is rejected, because it would skip items.
func newPage(size int32, token, call string, filter any) (page, error) {
	p := page{size: int(size), listChecksum: crc32.ChecksumIEEE(fmt.Appendf(nil, "%s %+v", call, filter))}
	switch {
	case size < 0 || size > MaxPageSize:
		return page{}, Errorf(CodeInvalidRequest, "page_size is %d; allowed: 0 to %d", size, MaxPageSize)
	case size == 0:
		p.size = DefaultPageSize
	}
	if token == "" {
		return p, nil
	}
	var parsed pageToken
	data, err := base64.RawURLEncoding.DecodeString(token)
	if err == nil {
		err = json.Unmarshal(data, &parsed)
	}
	if err != nil || parsed.ListChecksum != p.listChecksum || parsed.After == "" {
		return page{}, Errorf(CodeInvalidPageToken, "page_token is not one of this call with this filter")
	}
	p.after = parsed.After
	return p, nil
}

func (p page) token(after string) string {
	data, err := json.Marshal(pageToken{ListChecksum: p.listChecksum, After: after})
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(data)
}

// cutPage returns the items of one page and the token of the next page. The token is empty if no items
// follow.
func cutPage[T any](p page, items []T, key func(T) string) ([]T, string) {
	if len(items) <= p.size {
		return items, ""
	}
	items = items[:p.size]
	return items, p.token(key(items[len(items)-1]))
}

// itemsAfter returns the items whose key is greater than the start key of the page. items must be
// sorted by key.
func itemsAfter[T any](p page, items []T, key func(T) string) []T {
	if p.after == "" {
		return items
	}
	for i, item := range items {
		if key(item) > p.after {
			return items[i:]
		}
	}
	return nil
}

// documentPage returns one page of a list of the current document, ordered by name, and the token of the next page.
func documentPage[T any](s *Server, size int32, token, call string, list func(*configuration.Document) []T, name func(T) string) ([]T, string, error) {
	page, err := newPage(size, token, call, "")
	if err != nil {
		return nil, "", err
	}
	document, err := s.document()
	if err != nil {
		return nil, "", err
	}
	sorted := slices.SortedFunc(slices.Values(list(document)), func(a, b T) int { return strings.Compare(name(a), name(b)) })
	items, next := cutPage(page, itemsAfter(page, sorted, name), name)
	return items, next, nil
}

package operator

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"hash/crc32"
)

// Page sizes of lists.
const (
	DefaultPageSize = 100
	MaxPageSize     = 500
)

// page is where a list continues.
type page struct {
	size int
	// after is the key of the last item of the previous page; empty for the first page.
	after string
	// list binds a token to the call and its filter.
	list uint32
}

// pageToken is the content of an opaque token.
type pageToken struct {
	List  uint32 `json:"l"`
	After string `json:"a"`
}

// newPage validates the page size and the token. filter is a printable form of the call's filter; a
// token of another call or filter is refused, because it would skip items.
func newPage(size int32, token, call string, filter any) (page, error) {
	p := page{size: int(size), list: crc32.ChecksumIEEE(fmt.Appendf(nil, "%s %+v", call, filter))}
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
	if err != nil || parsed.List != p.list || parsed.After == "" {
		return page{}, Errorf(CodeInvalidPageToken, "page_token is not one of this call with this filter")
	}
	p.after = parsed.After
	return p, nil
}

func (p page) token(after string) string {
	data, err := json.Marshal(pageToken{List: p.list, After: after})
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(data)
}

// cut returns at most one page of the items and the token of the next page, empty if there is none.
func cut[T any](p page, items []T, key func(T) string) ([]T, string) {
	if len(items) <= p.size {
		return items, ""
	}
	items = items[:p.size]
	return items, p.token(key(items[len(items)-1]))
}

// from returns the items after the page's position. The items are sorted by key.
func from[T any](p page, items []T, key func(T) string) []T {
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

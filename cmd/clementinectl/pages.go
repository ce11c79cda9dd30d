package main

// pageSize is the largest page that an entry returns.
const pageSize = 500

// pageFlags are the flags of lists.
type pageFlags struct {
	Limit int `help:"Largest number of items; 0 for all." default:"0"`
}

// each calls fetch for one page after another until there is no more page or the limit is reached.
// fetch returns the number of items and the token of the next page.
func (f pageFlags) each(fetch func(size int32, token string) (int, string, error)) error {
	if f.Limit < 0 {
		return usageError("--limit must be at least 0")
	}
	token := ""
	for count := 0; ; {
		size := pageSize
		if f.Limit > 0 {
			size = min(size, f.Limit-count)
		}
		items, next, err := fetch(int32(size), token)
		if err != nil {
			return err
		}
		count += items
		if next == "" || f.Limit > 0 && count >= f.Limit {
			return nil
		}
		token = next
	}
}

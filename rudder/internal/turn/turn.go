// Package turn selects parts of lists that are sent in turn, since a message cannot hold all of them.
package turn

// Take returns up to n items of a list. Successive turns go through all of them; a list of at most n items is returned
// whole.
func Take[T any](list []T, turn, n int) []T {
	var items []T
	for i := range min(n, len(list)) {
		items = append(items, list[(turn*n+i)%len(list)])
	}
	return items
}

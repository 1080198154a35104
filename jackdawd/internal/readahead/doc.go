// Package readahead accounts for the bytes that a host holds of responses whose callers read more slowly
// than their upstreams send. A Budget bounds them in total and for each response, and decides whose response
// is cut off when the total is used up. It reads no clock and no connection; package relay does the reading
// and writing.
package readahead

// Package roster is the HTTP client of the platform's host list: entry hosts and upstreams with
// their address, failure domain and state. The list is eventually consistent: it lags, and two
// readers may see different versions. Entry hosts build their routing view from it, the command
// line finds entry hosts.
package roster

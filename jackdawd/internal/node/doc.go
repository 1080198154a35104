// Package node puts one entry host together from its parts and starts and
// stops them.
package node

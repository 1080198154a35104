// Package admin is the operators' interface of one entry host: queries only,
// nothing here changes anything.
package admin

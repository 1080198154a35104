// Package register folds the configuration stream of the platform's log into
// the configuration in force. Every host folds the same records to the same
// result, from the log alone, whatever it missed, read twice or read late.
package register

// Package cmd implements jackdaw, the operators' command line. The targets commands publish and
// show the configuration in the platform's log; status, explain and claims query the admin
// interface of one entry host; trace-request reads hosts' logs.
package cmd

// Package stuck finds calls that a backend server may never answer. What it finds is a suspicion: a call that takes long looks the same.
package stuck

/*!
The reducer of a daemon, composed of the parts.
*/

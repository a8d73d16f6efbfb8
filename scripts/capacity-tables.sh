tables_write() { :; }

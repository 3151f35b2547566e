"""Which instances are alive and entitled to lead."""

"""Header with which a worker says in all its answers that it leaves."""

#: Name of the header in lower case, and its value.
LEAVING_HEADER = 'server-leaving'
LEAVING_VALUE = '1'

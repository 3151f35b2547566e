"""Lark grammar of the operator language.

The grammar is a constant instead of a file, because the core does no
I/O and must accept the same statements wherever it runs.
"""

from typing import Final

GRAMMAR: Final = r"""
start: show | listing | explain_key | explain_request | wait | audit
     | dry_run | create | alter | drop | grant | withdraw

show: "show" name [everywhere] [where] [columns] [order] [limit]
listing: "list" name
explain_key: "explain" "key" name text
explain_request: "explain" "request" name text [workspace]
wait: "wait" "for" name name ["version" NUMBER] ["timeout" NUMBER]
audit: "audit"
dry_run: "dry" "run" (create | alter | drop | grant | withdraw)

create: "create" name name option* [forced]
alter: "alter" name name option+ [expected] [forced]
drop: "drop" name name [expected] [forced]
grant: "grant" "key" name "to" name
withdraw: "withdraw" "key" name [expected]

option: NAME value
expected: "if" "version" NUMBER
forced: "force"
everywhere: "everywhere"
workspace: "workspace" name

where: "where" condition ("and" condition)*
condition: NAME OPERATOR value
columns: "columns" NAME ("," NAME)*
order: "order" "by" term ("," term)*
term: NAME [DIRECTION]
limit: "limit" NUMBER

value: NUMBER | NAME | STRING
name: NAME | STRING
text: NAME | STRING | NUMBER

DIRECTION: "asc" | "desc"
OPERATOR: "!=" | "<=" | ">=" | "=" | "<" | ">" | "~"
NAME: /[A-Za-z_][A-Za-z0-9_.\-]*/
NUMBER: /-?[0-9]+(\.[0-9]+)?([eE][+-]?[0-9]+)?(?![A-Za-z0-9_.\-])/
STRING: /"(\\.|[^"\\])*"/

%import common.WS
%ignore WS
"""

DESCRIPTIONS_BY_TERMINAL: Final = {
    "$END": "end of statement",
    "COMMA": "','",
    "DIRECTION": "asc or desc",
    "NAME": "a name",
    "NUMBER": "a number",
    "OPERATOR": "one of = != < <= > >= ~",
    "STRING": "a quoted string",
}
"""Descriptions in error messages; a keyword is described by itself."""

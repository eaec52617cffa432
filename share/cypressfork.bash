_cypressfork() {
    local word="${COMP_WORDS[COMP_CWORD]}"
    if [ "$COMP_CWORD" -eq 1 ]; then
        COMPREPLY=($(compgen -W "init check apply diff history rollback status budgets leases top-up release bill members evacuate quarantine rollout limits key trace completions manual" -- "$word"))
    else
        COMPREPLY=($(compgen -f -- "$word"))
    fi
}
complete -F _cypressfork cypressfork

import * as eslint from 'eslint';
import * as tap from 'tap';

const RULE_URL = new URL('../../../../scripts/lint/no-change-after-await.mjs', import.meta.url);

const ROWS = [
  { reports: 1, body: 'await this.persist(); this.term = term;' },
  { reports: 1, body: 'await this.persist(); this.count += 1;' },
  { reports: 1, body: 'await this.persist(); this.entries.append(added);' },
  { reports: 1, body: 'this.term = await this.readTerm();' },
  { reports: 0, body: 'this.term = term; await this.persist();' },
  { reports: 0, body: 'await this.persist(); this.enter(term);' },
  { reports: 0, body: 'await this.persist(); const copy = []; copy.append(term);' },
  { reports: 0, body: 'await this.store(() => { this.term = term; });' },
];

void tap.default.test('changes after a wait are reported', async (t) => {
  // Guards against decisions that rely on what was read before a wait for a disk or a peer.
  const { default: rule } = (await import(RULE_URL.href)) as { default: eslint.Rule.RuleModule };
  const linter = new eslint.Linter();
  const plugins = { local: { rules: { 'no-change-after-await': rule } } };
  ROWS.forEach(({ body, reports }) => {
    const found = linter.verify(`class A { async change(term) { ${body} } }`, {
      plugins,
      rules: { 'local/no-change-after-await': 'error' },
    });
    t.equal(found.length, reports, body);
  });
});

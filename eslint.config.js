import stylistic from "@stylistic/eslint-plugin";
import tseslint from "typescript-eslint";

const MAX_LINE_CHARACTERS = 150;

export default tseslint.config(
    { ignores: ["dist/", "target/", "journal/", "node_modules/", "data/", "reports/"] },
    ...tseslint.configs.strictTypeChecked,
    stylistic.configs.customize({ indent: 4, quotes: "double", semi: true, braceStyle: "stroustrup", arrowParens: true }),
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@stylistic/max-len": ["error", { code: MAX_LINE_CHARACTERS, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true }],
            "@stylistic/quote-props": ["error", "consistent-as-needed"],
            "@stylistic/operator-linebreak": ["error", "before"],
            "@stylistic/max-statements-per-line": ["error", { max: 1 }],
            "@typescript-eslint/explicit-function-return-type": ["error", { allowExpressions: true }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "variableLike", format: ["camelCase", "UPPER_CASE"], leadingUnderscore: "allow" },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
            "@typescript-eslint/no-confusing-void-expression": ["error", { ignoreArrowShorthand: true }],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true }],
            "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "prefer-const": "error",
        },
    },
    {
        files: ["**/test.ts", "test/**/*.ts"],
        rules: {
            "@typescript-eslint/no-non-null-assertion": "off",
        },
    },
    { files: ["**/*.js", "**/*.mjs"], ...tseslint.configs.disableTypeChecked },
);

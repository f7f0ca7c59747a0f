export default {
    paths: ["features/**/*.feature"],
    import: ["features/steps/**/*.ts"],
    format: ["summary"],
    tags: "not @pending-fix",
    publishQuiet: true,
};
